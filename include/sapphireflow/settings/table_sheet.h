// Part of settings: conversion between the rows of the table and the spreadsheet operators edit.
#ifndef SAPPHIREFLOW_SETTINGS_TABLE_SHEET_H_
#define SAPPHIREFLOW_SETTINGS_TABLE_SHEET_H_

#include <string>
#include <vector>

#include "sapphireflow/model/error.h"
#include "sapphireflow/model/table.h"

namespace sapphireflow {

/// @brief Validates a sheet and converts it to table rows.
/// @return the rows, or all problems with their row and column and what is allowed.
/// Complexity: linear in the number of cells.
Validated<std::vector<TableRow>> ParseTableSheet(
    const std::vector<std::vector<std::string>>& sheet);

/// @brief Writes rows as a sheet with a heading; the inverse of `ParseTableSheet`.
std::vector<std::vector<std::string>> FormatTableSheet(const std::vector<TableRow>& rows);

}  // namespace sapphireflow

#endif  // SAPPHIREFLOW_SETTINGS_TABLE_SHEET_H_
