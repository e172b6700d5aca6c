import type { createTransactionsRouter } from "../createTransactionsRouter/index.js";

/** The router of `transactions.begin`, `execute` and `end`, for the clients of a gateway. */
export type TransactionsRouter = ReturnType<typeof createTransactionsRouter>;
