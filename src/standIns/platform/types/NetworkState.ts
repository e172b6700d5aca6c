import type { EmulatedLink } from "../../../network/types/EmulatedLink.js";
import type { LinkChange } from "./LinkChange.js";

/** The emulated network between availability zones. */
export interface NetworkState {
    change(change: LinkChange): void;
    list(): readonly EmulatedLink[];
    onChange(listener: () => void): () => void;
}
