/** Read access to registers and lists. */
export interface EndpointData {
    readRegister(register: string): unknown;
    readList(list: string): readonly unknown[];
}
