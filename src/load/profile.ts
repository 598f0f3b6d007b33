/**
 * Load profiles: the kinds of work that arrive, their workspaces and their shares.
 */
import { err, ok, type Result } from "neverthrow";
import {
    checkSettings,
    choice,
    decimal,
    defineSection,
    getValues,
    integer,
    name,
    optional,
    type SectionSchema,
    type SettingDocument,
    type SettingKeys,
    type SettingSchema,
    type SettingValues,
    text,
    toggle,
    type ValidationError,
} from "../settings/index.js";

const loadSection = defineSection("load", "The load, and the criterion for a good answer.", {
    rate: decimal({
        description: "Average number of requests that arrive per second; `--rate` overrides it.",
        example: "20",
        defaultText: "10",
        min: 0.01,
        max: 100_000,
    }),
    seconds: decimal({
        description: "Duration in seconds over which requests arrive; `--seconds` overrides it.",
        example: "60",
        defaultText: "30",
        min: 0.1,
        max: 86_400,
    }),
    seed: integer({
        description: "Seed of the arrivals and the mix; `--seed` overrides it.",
        example: "7",
        defaultText: "1",
        min: 0,
        max: 2_147_483_647,
    }),
    first_token_ms: integer({
        description:
            "Maximum time from the intended arrival to the first token of a good answer, or to the whole answer if not streamed.",
        example: "900",
        defaultText: "900",
        min: 1,
        max: 600_000,
    }),
    bound_ms: integer({
        description: "Timeout of one attempt.",
        example: "30000",
        defaultText: "30000",
        min: 1,
        max: 600_000,
    }),
    tries: integer({
        description:
            "Maximum number of attempts per request, when it is refused with a retry delay or its connection fails.",
        example: "3",
        defaultText: "3",
        min: 1,
        max: 100,
    }),
}, false);

const workspaceKeys = {
    key: text({ description: "The API key of the workspace.", example: "example key of makati-commissary" }),
};

const workKeys = {
    kind: choice(["chat", "conversation", "service"], {
        description: "A chat completion, a chat completion of a session, or a call to a plain service.",
        example: "chat",
    }),
    workspace: name({ description: "The workspace that sends the requests.", example: "makati-commissary" }),
    share: decimal({
        description: "Share of all requests, relative to the other sections.",
        example: "3",
        defaultText: "1",
        min: 0,
        max: 1_000_000,
    }),
    model: text({ description: "The requested model.", example: "auto", defaultText: "auto" }),
    application: optional(name({ description: "The application within the workspace.", example: "declarations" })),
    request_class: optional(name({ description: "The class of the requests.", example: "wear-tag" })),
    streamed: toggle({ description: "Whether answers are streamed.", example: "true", defaultText: "true" }),
    prompt_characters: integer({
        description: "Length in characters of the history that precedes each question.",
        example: "12000",
        defaultText: "200",
        min: 0,
        max: 1_000_000,
    }),
    histories: integer({
        description: "Number of different histories; requests with the same history share a prompt prefix.",
        example: "20",
        defaultText: "20",
        min: 1,
        max: 1_000_000,
    }),
    maximum_tokens: optional(integer({
        description: "Maximum number of tokens of an answer.",
        example: "256",
        min: 1,
        max: 1_000_000,
    })),
    open_sessions: integer({
        description: "Number of sessions of a conversation that are open at the same time.",
        example: "8",
        defaultText: "8",
        min: 1,
        max: 100_000,
    }),
    turns: integer({
        description: "Number of questions in a session before a new session replaces it.",
        example: "4",
        defaultText: "4",
        min: 1,
        max: 10_000,
    }),
    pool: optional(name({ description: "The pool of a plain service.", example: "label-app" })),
    path: text({ description: "The path of the service's calls.", example: "/print", defaultText: "/" }),
};

const workspaceSection = defineNamedSection("workspace", "A workspace that sends requests.", workspaceKeys);
const workSection = defineNamedSection("work", "One kind of work.", workKeys);

/** Schema of load profiles. */
export const profileSchema: SettingSchema = {
    title: "Load profile",
    description: "Read by `rattanlock-load --profile FILE`.",
    sections: [loadSection, workspaceSection, workSection],
};

/** The load, and the criterion for a good answer. */
export type LoadSettings = SettingValues<typeof loadSection.keys>;

/** One kind of work. */
export interface LoadWork extends Omit<SettingValues<typeof workKeys>, "workspace"> {
    readonly name: string;
    readonly workspace: string;
    readonly key: string;
}

/** A load profile. */
export interface LoadProfile {
    readonly load: LoadSettings;
    readonly works: readonly LoadWork[];
}

/**
 * Parses a load profile and reports every validation error in it.
 * @param content - The text of the file.
 * @param file - The name of the file, for error messages.
 */
export function parseLoadProfile(content: string, file: string): Result<LoadProfile, readonly ValidationError[]> {
    return checkSettings(content, file, profileSchema).andThen(document => {
        const errors = checkWorks(document);
        if (errors.length > 0) {
            return err(errors);
        }
        const works = getSectionNames(document, "work").map(section => readWork(document, section));
        return ok({ load: getValues(document, "load", loadSection), works });
    });
}

function defineNamedSection<Keys extends SettingKeys>(
    kind: string,
    description: string,
    keys: Keys,
): SectionSchema<Keys> {
    const pattern = new RegExp(`^${kind}\\.[A-Za-z0-9][A-Za-z0-9_-]*$`);
    return { title: `${kind}.NAME`, description, pattern, isRequired: false, keys };
}

function getSectionNames(document: SettingDocument, kind: string): readonly string[] {
    return [...document.sections.keys()].filter(section => section.startsWith(`${kind}.`));
}

function readWork(document: SettingDocument, section: string): LoadWork {
    const values = getValues(document, section, workSection);
    const { key } = getValues(document, `workspace.${values.workspace}`, workspaceSection);
    return { ...values, key, name: section.slice("work.".length) };
}

function checkWorks(document: SettingDocument): readonly ValidationError[] {
    const errors: ValidationError[] = [];
    let totalShare = 0;
    for (const section of getSectionNames(document, "work")) {
        const { workspace, kind, pool, share } = getValues(document, section, workSection);
        const { lines, line } = document.sections.get(section) ?? { lines: new Map(), line: 0 };
        const location = { file: document.file, section };
        totalShare += share;
        if (!document.sections.has(`workspace.${workspace}`)) {
            errors.push({
                ...location,
                key: "workspace",
                line: lines.get("workspace")?.line ?? line,
                message: `There is no [workspace.${workspace}].`,
                remedy: "Add the section with the workspace's key.",
            });
        }
        if (kind === "service" && pool === undefined) {
            const remedy = "Write, for instance, pool = label-app.";
            errors.push({ ...location, key: "pool", line, message: "A service needs its pool.", remedy });
        }
    }
    if (totalShare === 0) {
        const message = "No work has a share above 0.";
        const remedy = "Add a [work.NAME] section with kind, workspace and share.";
        errors.push({ file: document.file, section: "", key: "", line: 0, message, remedy });
    }
    return errors;
}
