import type { ProcessUse } from "./ProcessUse.js";

/** Watches one process. */
export interface ProcessWatch {
    /** Number of descriptors that are open now; 0 once the process has ended. */
    countDescriptors(): number;
    /** What the process has used at most; undefined once it has ended. */
    greatestUse(): ProcessUse | undefined;
    stop(): void;
}
