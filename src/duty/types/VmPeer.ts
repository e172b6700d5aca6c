import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { Announcement } from "./Announcement.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { EndpointCommand } from "./EndpointCommand.js";
import type { Renewal } from "./Renewal.js";
import type { RenewalAnswer } from "./RenewalAnswer.js";

/** Client for calls to another VM. Each call fails when it is not answered in time. */
export interface VmPeer {
    renew(renewal: Renewal): Promise<RenewalAnswer>;
    /** Queries whether that VM has had recent contact with the holder that has this token. */
    queryHolderContact(token: number): Promise<boolean>;
    /** Has that VM read the recorded holder from the store; undefined when there is no record. */
    readHolder(): Promise<DutyHolder | undefined>;
    /** Notifies that VM of the current holder. */
    notifyOfHolder(holder: DutyHolder): Promise<void>;
    announce(announcement: Announcement): Promise<void>;
    /** Queries whether that VM can reach an endpoint. */
    queryReachability(endpointId: string): Promise<boolean>;
    /** Sends statements to an endpoint through that VM. */
    command(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
}
