/** Types of the parts in use of the library that implements RFC 7396. */
declare module "json-merge-patch" {
    const jsonMergePatch: {
        /** Applies the patch to the target in place and returns the result. */
        apply(target: unknown, patch: unknown): unknown;
        /** Returns the patch that turns `before` into `after`; undefined if they are equal. */
        generate(before: unknown, after: unknown): unknown;
    };
    export default jsonMergePatch;
}
