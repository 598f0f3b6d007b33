/**
 * Defines validation errors of settings, with their location and remedy.
 */

/** Represents one error in a settings file. */
export interface ValidationError {
    readonly file: string;
    /** Line number, starting at 1; 0 if there is no line, for example if a section is missing. */
    readonly line: number;
    readonly section: string;
    readonly key: string;
    /** What is wrong, as a full sentence. */
    readonly message: string;
    /** What to write instead, as a full sentence. */
    readonly remedy: string;
}

/** Formats an error on one line, in the `file:line:` form that editors can open. */
export function formatValidationError(error: ValidationError): string {
    const section = error.section === "" ? "" : `[${error.section}] `;
    const key = error.key === "" ? "" : `${error.key}: `;
    return `${error.file}:${error.line}: ${section}${key}${error.message} ${error.remedy}`;
}

/**
 * Returns the known name that is closest to a given name, or undefined if none is close enough.
 * @param name - The given name.
 * @param knownNames - The known names.
 */
export function findClosestName(name: string, knownNames: Iterable<string>): string | undefined {
    let closestName: string | undefined;
    let minDistance = Math.max(2, Math.floor(name.length / 3)) + 1;
    for (const candidate of knownNames) {
        const distance = getEditDistance(name, candidate);
        if (distance < minDistance) {
            closestName = candidate;
            minDistance = distance;
        }
    }
    return closestName;
}

/** Returns the Levenshtein distance: the number of insertions, deletions and substitutions that turn one text into another. */
function getEditDistance(from: string, to: string): number {
    let previous = Array.from({ length: to.length + 1 }, (...[, index]) => index);
    for (let row = 1; row <= from.length; row += 1) {
        const current = [row];
        for (let column = 1; column <= to.length; column += 1) {
            const substitutionCost = previous[column - 1] + (from[row - 1] === to[column - 1] ? 0 : 1);
            current.push(Math.min(substitutionCost, previous[column] + 1, current[column - 1] + 1));
        }
        previous = current;
    }
    return previous[to.length];
}
