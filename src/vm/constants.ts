/** Constants of the program on a VM. */
export const vmConstants = {
    /** VMs that are taken to share the endpoints' connections while fewer are known. */
    assumedVms: 8,
} as const;
