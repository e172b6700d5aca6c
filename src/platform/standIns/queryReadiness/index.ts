/**
 * Sends the platform's readiness probe to a VM.
 *
 * @param port Port of the VM's readiness server.
 * @param host Address of the VM, on the loopback interface.
 * @returns Whether the VM accepts new connections.
 *
 * @example
 * assert.ok(await queryReadiness(port));
 */
export async function queryReadiness(port: number, host = "127.0.0.1"): Promise<boolean> {
    const response = await fetch(`http://${host}:${port}/-/readiness`);
    return response.status === 200;
}
