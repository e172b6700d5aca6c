import type { DataOverlay } from "../types/DataOverlay.js";
import type { EndpointData } from "../types/EndpointData.js";
import type { LogOperation } from "../types/LogOperation.js";

/**
 * Creates an overlay that collects changes without modifying the underlying data.
 *
 * @param data The underlying data.
 * @param beforeRead Called with the name of each register or list before it is read from the data; may throw.
 * @returns The overlay, empty.
 *
 * @example
 * const overlay = createDataOverlay(log, () => {});
 * overlay.writeRegister("stock", 3);
 */
export function createDataOverlay(data: EndpointData, beforeRead: (name: string) => void): DataOverlay {
    const operations: LogOperation[] = [];
    const registers = new Map<string, unknown>();
    const appended = new Map<string, unknown[]>();

    function readRegister(register: string): unknown {
        if (registers.has(register)) {
            return registers.get(register);
        }
        beforeRead(register);
        return data.readRegister(register);
    }

    function readList(list: string): readonly unknown[] {
        beforeRead(list);
        return [...data.readList(list), ...appended.get(list) ?? []];
    }

    function writeRegister(register: string, value: unknown): void {
        registers.set(register, value);
        operations.push({ register, value });
    }

    function appendToList(list: string, value: unknown): void {
        appended.set(list, [...appended.get(list) ?? [], value]);
        operations.push({ list, value });
    }

    return { readRegister, readList, writeRegister, appendToList, operations };
}
