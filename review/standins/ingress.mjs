/**
 * The platform's address for one zone: each second it asks every machine whether it is ready; after two misses a machine
 * gets no new connections until it answers with 200 again. If fewer than half of the zone's machines are in rotation, all
 * of them get new connections.
 */
const probeMs = 1_000;
const missesUntilOut = 2;

export function startIngress(machines, record) {
    const misses = new Map(machines.map(machine => [machine, 0]));
    const isIn = machine => misses.get(machine) < missesUntilOut;
    async function probe(machine) {
        const wasIn = isIn(machine);
        misses.set(machine, await machine.isReady() ? 0 : misses.get(machine) + 1);
        if (wasIn !== isIn(machine)) {
            record.write("rotation", { machine: machine.name, isIn: isIn(machine) });
        }
    }
    const timer = setInterval(() => machines.forEach(machine => void probe(machine)), probeMs);
    return {
        /** Chooses the machine of a client's next connection, by a hash of the client and the attempt. */
        choose: (client, attempt) => {
            const inRotation = machines.filter(isIn);
            const candidates = 2 * inRotation.length < machines.length ? machines : inRotation;
            return candidates[(client * 7 + attempt) % candidates.length];
        },
        stop: () => clearInterval(timer),
    };
}
