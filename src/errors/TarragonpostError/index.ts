import ModernError from "modern-errors";

/**
 * The base class of every error that this project raises.
 *
 * Its properties `kind`, `remedy` and `details` are set by `createError`.
 *
 * @example
 * if (error instanceof TarragonpostError) { report(error.message); }
 */
export const TarragonpostError = ModernError.subclass("TarragonpostError");
