import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { Announcement } from "./Announcement.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { EndpointCommand } from "./EndpointCommand.js";
import type { Renewal } from "./Renewal.js";
import type { RenewalAnswer } from "./RenewalAnswer.js";

/** Another VM. Each call fails when it is not answered in time. */
export interface VmPeer {
    renew(renewal: Renewal): Promise<RenewalAnswer>;
    /** Whether that VM has just heard the holder with that token. */
    askHeard(token: number): Promise<boolean>;
    /** Tells who the holder is. */
    introduceHolder(holder: DutyHolder): Promise<void>;
    announce(announcement: Announcement): Promise<void>;
    /** Whether that VM reaches an endpoint. */
    askReached(endpointId: string): Promise<boolean>;
    /** Has that VM send statements to an endpoint. */
    command(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
}
