/**
 * Settings of operators' commands: where a site's platform is.
 */
import { ok, type Result } from "neverthrow";
import { httpUrl, optional, type SettingValues } from "./settingKey.js";
import { checkSettings, defineSection, getValues, type SettingSchema } from "./settingSchema.js";
import type { ValidationError } from "./validationError.js";

const platformSection = defineSection("platform", "Where the platform's services are.", {
    log_url: optional(httpUrl({ description: "The append-only log.", example: "http://10.0.0.2:7000" })),
    vm_list_url: optional(httpUrl({ description: "The VM list.", example: "http://10.0.0.2:7001" })),
});

/** What a site file may hold. */
export const siteSchema: SettingSchema = {
    title: "Site file of operators",
    description: "Read by `rattanlock --site FILE` in place of `--log` and `--vm-list`.",
    sections: [platformSection],
};

/** Where a site's platform is. */
export type SiteSettings = SettingValues<typeof platformSection.keys>;

/**
 * Reads a site file.
 * @param content - The text of the file.
 * @param file - The file's name, for messages.
 */
export function parseSiteSettings(content: string, file: string): Result<SiteSettings, readonly ValidationError[]> {
    return checkSettings(content, file, siteSchema)
        .andThen(document => ok(getValues(document, "platform", platformSection)));
}
