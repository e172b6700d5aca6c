import type { UpdateKind } from "./UpdateKind.js";
import type { VersionRecord } from "./VersionRecord.js";

/** Update that one process sends to bring another to its configuration version. */
export type ConfigurationUpdate =
    | { readonly kind: UpdateKind.InForce; readonly version: number; }
    | { readonly kind: UpdateKind.Record; readonly record: VersionRecord; }
    | {
        readonly kind: UpdateKind.SnapshotPart;
        readonly index: number;
        readonly partCount: number;
        readonly text: string;
    };
