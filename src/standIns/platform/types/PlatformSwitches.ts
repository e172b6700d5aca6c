import type { OutageKind } from "./OutageKind.js";

/** Faults of the platform stand-in, set through its admin interface. */
export interface PlatformSwitches {
    readonly outage: OutageKind;
    /** Time before each call takes effect. */
    readonly slowMilliseconds: number;
    /** Number of next writes that take effect but whose answers are lost. */
    readonly lostAnswers: number;
    /** Only writes to keys with this prefix lose their answers. */
    readonly lostAnswerPrefix: string;
    readonly vmListLagMilliseconds: number;
}
