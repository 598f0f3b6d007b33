import { expect } from "earl";
import { describe, it } from "node:test";
import { formatValidationError, parseEntrySettings, parseLedgerSettings } from "../../src/settings/index.js";

const validEntry = `
; An entry in hall-mole
[process]
name = entry-1
failure_domain = hall-mole
region = catania
[listen]
callers = 127.20.2.1:8080 ; towards callers
peers = 127.20.2.1:8081
operators = [::1]:8082
[platform]
log_url = http://127.20.2.2:7000
vm_list_url = http://127.20.2.2:7001
rating_url = http://127.20.2.2:7002
weight_store_url = http://127.20.2.2:7003
[timing]
lease_term_ms = 8000
[session]
signing_key = 0123456789abcdef0123456789abcdef
`;

function getErrors(content: string): readonly string[] {
    return parseEntrySettings(content, "entry.ini")._unsafeUnwrapErr().map(formatValidationError);
}

describe("parseEntrySettings", () => {
    it("reads values and fills in defaults", () => {
        const settings = parseEntrySettings(validEntry, "entry.ini")._unsafeUnwrap();
        expect(settings.process.failureDomain).toEqual("hall-mole");
        expect(settings.listen.callers).toEqual({ host: "127.20.2.1", port: 8080 });
        expect(settings.listen.operators).toEqual({ host: "::1", port: 8082 });
        expect(settings.timing.leaseTermMilliseconds).toEqual(8_000);
        expect(settings.timing.logWaitMilliseconds).toEqual(2_000);
        expect(settings.tls.certificate).toEqual(undefined);
    });

    // If only the first of several errors is reported, an operator has to start the process once per error.
    it("reports every error with its line, its key and what to write instead", () => {
        const content = validEntry
            .replace("callers = 127.20.2.1:8080 ; towards callers", "callers = entry.example:8080")
            .replace("lease_term_ms = 8000", "lease_tern_ms = 8000\nlog_wait_ms = 2s\nlog_wait_ms = 5")
            .replace("[session]", "[sesion]")
            .replace("name = entry-1", "name entry-1");
        expect(getErrors(content)).toEqual([
            "entry.ini:0: [session] signing_key: The key is missing. Write, for instance, signing_key = "
            + "replace-me-with-32-random-characters.",
            "entry.ini:3: [process] name: The key is missing. Write, for instance, name = entry-1.",
            "entry.ini:4: [process] The line is not a section, key or comment. Write key = value, [section] or ; comment.",
            "entry.ini:8: [listen] callers: \"entry.example:8080\" cannot be used. Write an IP address and a port, such as "
            + "10.0.1.11:8080; host names are not resolved.",
            "entry.ini:17: [timing] lease_tern_ms: The key is not known here. Did you mean lease_term_ms?",
            "entry.ini:18: [timing] log_wait_ms: \"2s\" cannot be used. Write a whole number of milliseconds from 1 to 600000, "
            + "such as 2000.",
            "entry.ini:19: [timing] log_wait_ms: The key is already set on line 18. Remove one of the two.",
            "entry.ini:20: [sesion] The section is not known. Did you mean [session]?",
        ]);
    });

    // A section has a certificate but lacks its key or authority. Peers would reject each other's connections, or a process
    // would fall back to unencrypted connections.
    it("rejects an incomplete section of certificates and a short signing key", () => {
        const half = getErrors(`${validEntry}[tls]\ncertificate = a.pem\nkey = a.key\n`);
        expect(half).toEqual([
            "entry.ini:20: [tls] authority: The key is missing, but other keys of this section are set. Set certificate, key "
            + "and authority, or remove the section.",
        ]);
        const upstreams = getErrors(`${validEntry}[upstream_tls]\nauthority = a.pem\n`);
        expect(upstreams.length).toEqual(2);
        const short = getErrors(validEntry.replace("0123456789abcdef0123456789abcdef", "short"));
        expect(short.length).toEqual(1);
    });

    it("reports names of built-in object properties as unknown keys", () => {
        const errors = getErrors(validEntry.replace("[timing]", "[timing]\nconstructor = 1\n__proto__ = 2"));
        expect(errors.map(error => error.includes("not known") || error.includes("not a section")))
            .toEqual([true, true]);
    });
});

describe("parseLedgerSettings", () => {
    it("reads values", () => {
        const content = "[process]\nname = ledger\nfailure_domain = a\nregion = b\n[platform]\n"
            + "log_url = http://127.20.2.2:7000\n[ledger]\noutput = -\n";
        const settings = parseLedgerSettings(content, "ledger.ini")._unsafeUnwrap();
        expect(settings.ledger).toEqual({ output: "-", follow: true });
    });
});
