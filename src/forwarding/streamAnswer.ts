/**
 * The answer of one runner to a stream, and how far it was read.
 */
import type { AnswerForm } from "./answerEnd.js";
import type { Attempt } from "./attempt.js";
import { BodyReader } from "./bodyReader.js";
import { EventSplitter } from "./eventSplitter.js";

/** An answer that is relayed. It can be put aside while another runner is asked, and be read on afterwards. */
export class StreamAnswer {
    readonly attempt: Attempt;
    readonly form: AnswerForm;
    readonly body: BodyReader;
    readonly splitter = new EventSplitter();
    /**
     * Time from the arrival of the request since which the runner has sent nothing, in milliseconds. Undefined as long as that is
     * shorter than the pause timeout.
     */
    silentSince: number | undefined;

    /**
     * @param attempt - The attempt that it answers.
     * @param form - What it is.
     */
    constructor(attempt: Attempt, form: AnswerForm) {
        this.attempt = attempt;
        this.form = form;
        this.body = new BodyReader(attempt.answer.body);
    }
}
