import type { AdmittedConnection } from "./AdmittedConnection.js";

/** Decides which connections a process accepts. */
export interface ConnectionAdmission {
    /**
     * Admits a new connection, if need be in the place of another one.
     *
     * @returns Its place; undefined when it has to be refused.
     */
    admit(connection: { isBusy(): boolean; disconnect(): void; }): AdmittedConnection | undefined;
}
