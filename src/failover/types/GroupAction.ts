import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import type { GroupActionKind } from "./GroupActionKind.js";

/** The next action of a coordinator, with its arguments. */
export type GroupAction =
    | { readonly kind: GroupActionKind.PublishNewerPrimary; readonly status: EndpointStatus; }
    | { readonly kind: GroupActionKind.ChangePrimary; readonly reason: string; readonly preferred?: string; }
    | { readonly kind: GroupActionKind.VerifyPrimary; readonly endpoint: string; readonly reason: string; }
    | { readonly kind: GroupActionKind.PlannedChange; readonly record: GroupRecord; readonly successor: string; }
    | { readonly kind: GroupActionKind.Repair; readonly record: GroupRecord; readonly endpoints: readonly string[]; }
    | { readonly kind: GroupActionKind.Wait; readonly reason: string; };
