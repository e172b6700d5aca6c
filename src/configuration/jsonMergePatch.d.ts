/** Types of the library that implements RFC 7396, as far as this project uses it. */
declare module "json-merge-patch" {
    const jsonMergePatch: {
        /** Applies the patch to the target, which it changes, and returns the outcome. */
        apply(target: unknown, patch: unknown): unknown;
        /** Returns the patch that turns `before` into `after`; undefined when they are equal. */
        generate(before: unknown, after: unknown): unknown;
    };
    export default jsonMergePatch;
}
