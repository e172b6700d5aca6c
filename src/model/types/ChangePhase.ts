/** How far the holder is with the change. */
export enum ChangePhase {
    Serving = "Serving",
    Announced = "Announced",
    Ordered = "Ordered",
    /** The successor leads and may have acknowledged commits. */
    Led = "Led",
}
