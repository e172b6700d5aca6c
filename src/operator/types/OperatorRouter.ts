import type { createConfigurationRouter } from "../../configuration/createConfigurationRouter/index.js";
import type { createEventsRouter } from "../../events/createEventsRouter/index.js";
import type { createStatusRouter } from "../../status/createStatusRouter/index.js";

/** The procedures of a gateway that operators call. */
export type OperatorRouter =
    & ReturnType<typeof createConfigurationRouter>
    & ReturnType<typeof createEventsRouter>
    & ReturnType<typeof createStatusRouter>;
