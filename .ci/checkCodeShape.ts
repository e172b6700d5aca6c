/** Prints the shares of test code and decision logic; fails when a share or the length of a file is out of bounds. */
import { toolConstants } from "../src/tools/constants.js";
import { listSourceFiles } from "../src/tools/listSourceFiles/index.js";
import { measureCodeShape } from "../src/tools/measureCodeShape/index.js";

const { allLines, testLines, decisionLines, longFiles } = measureCodeShape(listSourceFiles());
const testShare = testLines / allLines;
const decisionShare = decisionLines / allLines;
console.log(`Code: ${allLines} lines without blanks and comments`);
console.log(`Tests: ${testLines} lines, ${(testShare * 100).toFixed(1)}% (below 33.3%)`);
console.log(`Decisions: ${decisionLines} lines, ${(decisionShare * 100).toFixed(1)}% (at least 25%)`);
console.log(`Files over ${toolConstants.maximumFileLines} lines: ${longFiles.length === 0 ? "none" : longFiles.join(", ")}`);
const isInBounds = testShare < toolConstants.maximumTestShare
    && decisionShare >= toolConstants.minimumDecisionShare
    && longFiles.length === 0;
process.exit(isInBounds ? 0 : 1);
