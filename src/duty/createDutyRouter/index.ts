import { checkPeerValue } from "../../dissemination/checkPeerValue/index.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { trpc } from "../../transport/trpc/index.js";
import { dutySchemas } from "../dutySchemas.js";
import type { Announcement } from "../types/Announcement.js";
import type { Duty } from "../types/Duty.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { EndpointCommand } from "../types/EndpointCommand.js";
import type { Renewal } from "../types/Renewal.js";

/** Sends statements of the proxy itself to an endpoint. */
type CommandRunner = (command: EndpointCommand) => Promise<readonly StatementAnswer[]>;

/** Queries whether this VM can reach an endpoint. */
type EndpointProbe = (endpointId: string) => Promise<boolean>;

/**
 * Creates the router for calls between VMs and to the holder of the failover duty, under `duty`.
 *
 * @param duty This VM's part in the failover duty.
 * @param runCommand Sends statements to an endpoint on behalf of another VM.
 * @param probe Queries whether this VM can reach an endpoint.
 * @returns The router.
 * @throws TarragonpostError of kind `InvalidRequest`, to the peer, when it sends something malformed.
 *
 * @example
 * const server = createTransportServer({ router: createDutyRouter(duty, control.run, probe), ...options });
 */
export function createDutyRouter(duty: Duty, runCommand: CommandRunner, probe: EndpointProbe) {
    const renew = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.renewal, input) as Renewal)
        .mutation(({ input }) => duty.answerRenewal(input));
    const askHeard = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.token, input))
        .query(({ input }) => duty.hasHolderContact(input));
    const askReached = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.endpointId, input))
        .query(({ input }) => probe(input));
    const readHolder = trpc.procedure.query(() => duty.readHolder());
    const introduceHolder = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.holder, input) as DutyHolder)
        .mutation(({ input }) => duty.applyHolder(input));
    const announce = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.announcement, input) as Announcement)
        .mutation(({ input }) => duty.applyAnnouncement(input));
    const command = trpc.procedure
        .input((input: unknown) => checkPeerValue(dutySchemas.command, input) as EndpointCommand)
        .mutation(({ input }) => runCommand(input));
    return trpc.router({
        duty: trpc.router({ renew, askHeard, askReached, readHolder, introduceHolder, announce, command }),
    });
}
