import type { HybridTimestamp } from "../../events/types/HybridTimestamp.js";
import type { FrameKind } from "./FrameKind.js";
import type { SerializedError } from "./SerializedError.js";

/** A frame of the protocol between two processes. */
export type Frame =
    | readonly [FrameKind.Challenge, number, string]
    | readonly [FrameKind.Hello, number, string, string, string]
    | readonly [FrameKind.Welcome]
    | readonly [FrameKind.Reject, SerializedError]
    | readonly [FrameKind.Call, number, "query" | "mutation" | "subscription", string, unknown, HybridTimestamp]
    | readonly [FrameKind.Result, number, unknown, HybridTimestamp]
    | readonly [FrameKind.Failure, number, SerializedError, HybridTimestamp]
    | readonly [FrameKind.Item, number, unknown, HybridTimestamp]
    | readonly [FrameKind.Done, number]
    | readonly [FrameKind.Cancel, number]
    | readonly [FrameKind.Ping]
    | readonly [FrameKind.Pong];
