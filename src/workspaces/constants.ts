/** Constants of workspaces. */
export const workspaceConstants = {
    /** Owner of the connections that serve callers without a workspace. */
    anonymousOwner: "tarragonpost",
} as const;
