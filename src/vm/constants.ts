/** Constants of the program on a VM. */
export const vmConstants = {
    /** Least number of VMs assumed to share an endpoint's connections; applies while fewer are known. */
    minimumAssumedVms: 8,
} as const;
