/**
 * Prompt texts. Prompts with the same history start with the same text, so that they can share a cached prompt prefix.
 */
import type { Arrival } from "./schedule.js";

/**
 * Returns the prompt of a request.
 * @param arrival - The request.
 */
export function createPrompt(arrival: Arrival): string {
    const { work, history, turn, number } = arrival;
    const lines = [createHistory(`${work.name} history ${history}`, work.promptCharacters)];
    for (let previousTurn = 0; previousTurn < turn; previousTurn += 1) {
        lines.push(`Question ${previousTurn + 1} of ${arrival.session}`);
    }
    lines.push(`Question ${turn + 1} of ${arrival.session ?? number}: what is to be done next?`);
    return lines.join("\n");
}

function createHistory(title: string, characters: number): string {
    const lines: string[] = [];
    let length = 0;
    for (let job = 1; length < characters; job += 1) {
        const line = `${title}, job ${job}: received, checked, worked on and returned.`;
        lines.push(line);
        length += line.length + 1;
    }
    return lines.join("\n").slice(0, characters);
}
