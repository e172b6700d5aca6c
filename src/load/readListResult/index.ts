import { z } from "zod";
import type { ListContents } from "../../history/types/ListContents.js";
import { OperationKind } from "../../history/types/OperationKind.js";

const listSchema = z.object({ values: z.array(z.string()) });
const pairSchema = z.object({ results: z.array(listSchema) });

const parsers: Readonly<Partial<Record<OperationKind, (result: unknown) => readonly (readonly string[])[]>>> = {
    [OperationKind.ReadList]: result => [listSchema.parse(result).values],
    [OperationKind.ReadPair]: result => pairSchema.parse(result).results.map(each => each.values),
};

/**
 * Parses the lists in the result of an endpoint.
 *
 * @param kind Kind of the operation.
 * @param lists The lists that were requested.
 * @param result The result as received.
 * @returns The contents of each list; undefined if the operation reads nothing.
 * @throws ZodError when the result does not match the operation, because it belongs to another request.
 *
 * @example
 * readListResult(OperationKind.ReadList, ["dealer/list-1"], { values: ["s1-1"] });
 */
export function readListResult(
    kind: OperationKind,
    lists: readonly string[],
    result: unknown,
): readonly ListContents[] | undefined {
    return parsers[kind]?.(result).map((values, index) => ({ list: lists[index] ?? "", values }));
}
