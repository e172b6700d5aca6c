import jsdoc from "eslint-plugin-jsdoc";
import typescript from "typescript-eslint";

const abbreviations = ["cfg", "ctx", "conn", "msg", "req", "res", "err", "idx", "num", "str", "tmp", "cb", "fn", "addr", "pos", "db", "opts", "args", "params", "val", "ms", "curr", "prev", "info"];

const houseRules = {
    rules: {
        "one-export-a-file": {
            meta: { type: "suggestion", messages: { many: "Move this export to a file of its own: a file exports one thing." } },
            create(context) {
                let exportCount = 0;
                const count = node => {
                    exportCount += 1;
                    if (exportCount > 1) {
                        context.report({ node, messageId: "many" });
                    }
                };
                return { ExportNamedDeclaration: count, ExportDefaultDeclaration: count, ExportAllDeclaration: count };
            },
        },
        "no-abbreviations": {
            meta: { type: "suggestion", messages: { abbreviation: "Write the whole word in place of '{{name}}'." } },
            create(context) {
                return {
                    "VariableDeclarator > Identifier.id, :function > Identifier.params"(node) {
                        if (abbreviations.includes(node.name)) {
                            context.report({ node, messageId: "abbreviation", data: { name: node.name } });
                        }
                    },
                };
            },
        },
    },
};

export default [
    { ignores: ["dist/", "target/", "node_modules/", ".run/"] },
    ...typescript.configs.recommended,
    {
        files: ["src/**/*.ts", "features/**/*.ts"],
        plugins: { jsdoc, house: houseRules },
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined in place of null.",
            }],
            "max-lines": ["error", { max: 300 }],
            "house/one-export-a-file": "error",
            "house/no-abbreviations": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "import", format: null },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "allow" },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["objectLiteralProperty", "objectLiteralMethod", "typeProperty"], format: null },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_", caughtErrorsIgnorePattern: "^_" }],
        },
    },
    {
        files: ["src/**/*.ts"],
        ignores: ["src/**/test.ts"],
        rules: {
            "jsdoc/require-jsdoc": ["error", {
                enableFixer: false,
                contexts: ["ExportNamedDeclaration"],
                require: { FunctionDeclaration: false },
            }],
            "jsdoc/require-description": "error",
        },
    },
    {
        // The bundle loader passes `require` to the script that it runs from the code cache, so it must be CommonJS.
        files: [".ci/*.cjs"],
        languageOptions: { sourceType: "commonjs" },
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["src/**/test.ts", "features/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
];
