import ModernError from "modern-errors";

/**
 * The class of every typed error of this project.
 *
 * Its properties `kind`, `remedy` and `details` are set by `createError`.
 *
 * @example
 * if (error instanceof TarragonpostError) { report(error.message); }
 */
export const TarragonpostError = ModernError.subclass("TarragonpostError");
