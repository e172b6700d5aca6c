/**
 * Asks a VM as the platform does whether it takes new connections.
 *
 * @param port Where the VM answers on the loopback address.
 * @returns Whether it does.
 *
 * @example
 * assert.ok(await askReadiness(port));
 */
export async function askReadiness(port: number): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${port}/-/readiness`);
    return response.status === 200;
}
