package org.snipewind.command;

/**
 * The reason why a route was not explained.
 *
 * @param badArgument whether the instance names an argument that it can't use; otherwise it did not respond
 * @param reason text for the operator
 */
record ExplainFailure(boolean badArgument, String reason) {}
