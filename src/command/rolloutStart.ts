/** `rattanlock rollout start CANDIDATE BASELINE` */
import { Args, Flags } from "@oclif/core";
import { randomUUID } from "node:crypto";
import { type Configuration } from "../configuration/index.js";
import { rolloutRecordKinds } from "../control/index.js";
import { OperatorCommand, type SiteFlags } from "./operatorCommand.js";

const percent = 100;

/** Starts a staged roll-out of a candidate in place of a settled version of its model. */
export class RolloutStartCommand extends OperatorCommand {
    static override summary = "Starts a staged roll-out, as [rollout] in the configuration describes it.";
    static override examples = [
        "<%= config.bin %> rollout start plan-large@4 plan-large@3 --site site.ini",
        "<%= config.bin %> rollout start plan-large@4 plan-large@3 --site site.ini --name plan-4-second-try",
    ];
    static override args = {
        candidate: Args.string({ required: true, description: "The version to roll out, MODEL@VERSION." }),
        baseline: Args.string({ required: true, description: "The settled version in whose place it comes." }),
    };
    static override flags = { name: Flags.string({ description: "Name of the roll-out; made up by default." }) };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(RolloutStartCommand);
        const configuration = (await this.readConfiguration(flags)).getConfiguration();
        this.#check(configuration, args.candidate, args.baseline);
        const rollout = flags.name ?? `${args.candidate}-${randomUUID().slice(0, 8)}`;
        return this.#start(flags, rollout, args, configuration);
    }

    #check(configuration: Configuration, candidate: string, baseline: string): void {
        const candidateVersion = configuration.getVersion(candidate);
        const baselineVersion = configuration.getVersion(baseline);
        if (candidateVersion === undefined || baselineVersion === undefined) {
            this.failRefused(`Both ${candidate} and ${baseline} must be in the configuration. Publish them first.`);
        }
        if (candidateVersion.model !== baselineVersion.model) {
            this.failRefused(`${candidate} and ${baseline} are versions of different models. Name two of one model.`);
        }
        if (candidateVersion.status === "withdrawn" || baselineVersion.status !== "serving") {
            this.failRefused(
                `${candidate} is ${candidateVersion.status}, ${baseline} is ${baselineVersion.status}. The candidate must `
                    + "not be withdrawn, and the settled version must be serving.",
            );
        }
    }

    #start(
        flags: SiteFlags,
        rollout: string,
        args: { readonly candidate: string; readonly baseline: string; },
        configuration: Configuration,
    ): Promise<object> {
        const { model } = configuration.getVersionOrThrow(args.candidate);
        const settings = configuration.getRollout(model);
        return this.withControl(flags, async session => {
            const body = {
                rollout,
                model,
                candidate: args.candidate,
                baseline: args.baseline,
                stages: settings.stages.map(stage => stage / percent),
                budget: settings.exposureBudget,
                startedBy: flags.author,
            };
            const appended = await session.append(rolloutRecordKinds.start, body);
            if (appended.isErr()) {
                return this.failWith(appended.error);
            }
            if (session.rollouts.getRollout(rollout)?.state !== "active") {
                return this.failRefused(
                    `The roll-out ${rollout} was refused: its name is taken, ${args.candidate} is halted, or another `
                        + "roll-out of it is active. See `rattanlock rollout status`.",
                );
            }
            this.log(`The roll-out ${rollout} is active. Watch it with \`rattanlock rollout status\`.`);
            return { offset: appended.value, ...body };
        });
    }
}
