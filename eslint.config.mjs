import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "src/generated/**"] },
    ...tseslint.configs.recommended,
    {
        plugins: { "@stylistic": stylistic },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                { selector: "CallExpression[callee.property.name='forEach']", message: "Use a for of loop instead." },
            ],
            "prefer-const": "error",
            "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "classMethod", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$" }],
        },
    },
);
