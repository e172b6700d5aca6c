import { describe, it } from "node:test";
import { playCrowd } from "../../playCrowd/index.js";

const valueBytes = 250_000;
const valuesOfOneSession = 600;
const valuesOfManySessions = 8;

function* listStatements(word: string, count: number): Generator<string> {
    const value = "v".repeat(valueBytes);
    for (let index = 0; index < count; index += 1) {
        yield `QUERY q${index} ${word.replace("#", String(index))} ${value}\r\n`;
    }
}

/** Each statement of one name is prepared anew, run once and closed. */
function* listExecutions(count: number): Generator<string> {
    const shape = "s".repeat(valueBytes);
    for (let index = 0; index < count; index += 1) {
        yield `QUERY p${index} PARSE name READ ${index}${shape}\r\n`;
        yield `QUERY e${index} EXECUTE name item\r\n`;
        yield `QUERY c${index} CLOSE name\r\n`;
    }
}

describe("clients whose sessions grow", () => {
    it("hostile: one session sets many large values", () =>
        playCrowd({
            count: 1,
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                [...listStatements("SET name#", valuesOfOneSession)].forEach(text => socket.write(text, "latin1"));
            },
        }));

    it("hostile: one session prepares many large statements", () =>
        playCrowd({
            count: 1,
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                [...listStatements("PARSE name# READ", valuesOfOneSession)].forEach(text =>
                    socket.write(text, "latin1")
                );
            },
        }));

    it("hostile: many sessions set large values and stay open", () =>
        playCrowd({
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                [...listStatements("SET name#", valuesOfManySessions)].forEach(text => socket.write(text, "latin1"));
            },
            isStaying: true,
        }));

    it("hostile: many sessions set large values, read once and leave", () =>
        playCrowd({
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                [...listStatements("SET name#", valuesOfManySessions - 1)].forEach(text =>
                    socket.write(text, "latin1")
                );
                socket.write("QUERY r READ ordinary\r\n");
            },
        }));

    it("hostile: one session runs many large prepared statements and closes each", () =>
        playCrowd({
            count: 1,
            begin: socket => {
                socket.write("STARTUP shop u1\r\n");
                [...listExecutions(valuesOfOneSession)].forEach(text => socket.write(text, "latin1"));
            },
        }));
});
