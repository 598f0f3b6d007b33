/**
 * Mistakes in settings, with the place and what to write instead.
 */

/** One mistake in a settings file. */
export interface ValidationError {
    readonly file: string;
    /** From 1; 0 when no line can be named, such as for a section that is missing. */
    readonly line: number;
    readonly section: string;
    readonly key: string;
    /** What is wrong, as a full sentence. */
    readonly message: string;
    /** What to write instead, as a full sentence. */
    readonly remedy: string;
}

/** Shows a mistake on one line, in the form that editors jump to. */
export function formatValidationError(error: ValidationError): string {
    const section = error.section === "" ? "" : `[${error.section}] `;
    const key = error.key === "" ? "" : `${error.key}: `;
    return `${error.file}:${error.line}: ${section}${key}${error.message} ${error.remedy}`;
}

/**
 * Finds the known name that is most like a given one, or undefined when none is near.
 * @param name - What was written.
 * @param known - What could have been meant.
 */
export function findClosestName(name: string, known: Iterable<string>): string | undefined {
    let nearest: string | undefined;
    let nearestDistance = Math.max(2, Math.floor(name.length / 3)) + 1;
    for (const candidate of known) {
        const distance = getEditDistance(name, candidate);
        if (distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

/** Counts the insertions, removals and replacements that turn one text into another (Levenshtein). */
function getEditDistance(from: string, to: string): number {
    let previous = Array.from({ length: to.length + 1 }, (...[, index]) => index);
    for (let row = 1; row <= from.length; row += 1) {
        const current = [row];
        for (let column = 1; column <= to.length; column += 1) {
            const replaced = previous[column - 1] + (from[row - 1] === to[column - 1] ? 0 : 1);
            current.push(Math.min(replaced, previous[column] + 1, current[column - 1] + 1));
        }
        previous = current;
    }
    return previous[to.length];
}
