import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../testing/createSoakHistory/index.js";
import { checkPromises } from "./index.js";

describe("checkPromises", () => {
    it("finds nothing in a history that keeps all promises", () => {
        assert.deepEqual(checkPromises(createSoakHistory()), []);
    });

    it("names the promise that was broken", () => {
        const broken = checkPromises(createSoakHistory({ log: [] }));
        assert.deepEqual(broken.map(({ promise }) => promise), ["no acknowledged write is lost"]);
    });
});
