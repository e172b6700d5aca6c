import type { AnyTRPCRouter } from "@trpc/server";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { Kernel } from "../../kernel/types/Kernel.js";
import type { Primaries } from "../../primaries/types/Primaries.js";

/** One run of the program on a VM of a simulation. */
export interface SimulatedVm {
    readonly name: string;
    /** Clock of the process; it stands still for the process once it was killed. */
    readonly clock: Clock;
    isRunning: boolean;
    /** Resolves at the end of the suspension of the process; undefined while it is not suspended. */
    suspension: Promise<void> | undefined;
    /** Resolves when the process runs; never once it was killed. */
    waitForProcess(): Promise<void>;
    readonly kernel: Kernel;
    readonly directory: Directory;
    readonly duty: Duty;
    readonly primaries: Primaries;
    readonly router: AnyTRPCRouter;
}
