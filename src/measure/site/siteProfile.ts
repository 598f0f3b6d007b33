/**
 * The load profile for the measurement of a site.
 */
import { type LoadProfile, parseLoadProfile } from "../../load/index.js";
import { getApiKey } from "../../testbench/index.js";

/** The workload of Metro Manila: long recipe sheets, kitchen conversations, short label texts and label prints. */
const sections = `
[load]
first_token_ms = 900
bound_ms = 20000

[workspace.commissary]
key = ${getApiKey("commissary")}

[workspace.compliance]
key = ${getApiKey("compliance")}

[workspace.banquet]
key = ${getApiKey("banquet")}

[work.declarations]
kind = chat
workspace = compliance
share = 2
prompt_characters = 8000
histories = 20
maximum_tokens = 48

[work.kitchen]
kind = conversation
workspace = commissary
share = 5
open_sessions = 40
turns = 4
maximum_tokens = 32

[work.wording]
kind = chat
workspace = banquet
share = 2
streamed = false
maximum_tokens = 16

[work.print]
kind = service
workspace = commissary
share = 1
pool = label-app
path = /print
`;

/** Creates the load profile. */
export function createSiteProfile(): LoadProfile {
    return parseLoadProfile(sections, "site profile")._unsafeUnwrap();
}
