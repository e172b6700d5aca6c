import { z } from "zod";
import type { ListContents } from "../../history/types/ListContents.js";
import { OperationKind } from "../../history/types/OperationKind.js";

const listSchema = z.object({ values: z.array(z.string()) });
const pairSchema = z.object({ results: z.array(listSchema) });

const readers: Readonly<Partial<Record<OperationKind, (result: unknown) => readonly (readonly string[])[]>>> = {
    [OperationKind.ReadList]: result => [listSchema.parse(result).values],
    [OperationKind.ReadPair]: result => pairSchema.parse(result).results.map(each => each.values),
};

/**
 * Reads the lists out of an endpoint's result.
 *
 * @param kind The operation.
 * @param lists The lists that were asked for.
 * @param result The result as it came.
 * @returns The contents list by list; undefined when the operation reads nothing.
 * @throws ZodError when the result does not fit the operation, so belongs to another request.
 *
 * @example
 * readListResult(OperationKind.ReadList, ["dealer/list-1"], { values: ["s1-1"] });
 */
export function readListResult(
    kind: OperationKind,
    lists: readonly string[],
    result: unknown,
): readonly ListContents[] | undefined {
    return readers[kind]?.(result).map((values, index) => ({ list: lists[index] ?? "", values }));
}
