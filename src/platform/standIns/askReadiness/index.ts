/**
 * Asks a VM as the platform does whether it takes new connections.
 *
 * @param port Where the VM answers.
 * @param host Its address, on the loopback interface.
 * @returns Whether it does.
 *
 * @example
 * assert.ok(await askReadiness(port));
 */
export async function askReadiness(port: number, host = "127.0.0.1"): Promise<boolean> {
    const response = await fetch(`http://${host}:${port}/-/readiness`);
    return response.status === 200;
}
