/**
 * Opens encrypted connections to upstreams, and shows them the site's certificate.
 */
import { Agent, buildConnector, type Dispatcher } from "undici";
import type { Credentials } from "../common/index.js";

/** Connects to upstreams with credentials that can be renewed. */
export class UpstreamConnector {
    readonly #timeoutMilliseconds: number;
    #connect: buildConnector.connector;

    /**
     * @param credentials - What is shown, and whom the connector trusts.
     * @param timeoutMilliseconds - How long a connection may take to open.
     */
    constructor(credentials: Credentials, timeoutMilliseconds: number) {
        this.#timeoutMilliseconds = timeoutMilliseconds;
        this.#connect = this.#createConnector(credentials);
    }

    /**
     * Renews the credentials. Connections made from now on use them; those that are open stay.
     * @param credentials - The renewed credentials.
     */
    setCredentials(credentials: Credentials): void {
        this.#connect = this.#createConnector(credentials);
    }

    /** Creates the dispatcher for all calls to upstreams; it opens no connection in the clear. */
    createDispatcher(): Dispatcher {
        const agent = new Agent({ connect: (options, callback) => this.#connect(options, callback) });
        return agent.compose(dispatch => (options, handler) => dispatch(encrypt(options), handler));
    }

    #createConnector({ certificate, key, authority, serverName }: Credentials): buildConnector.connector {
        return buildConnector({
            cert: certificate,
            key,
            ca: authority,
            timeout: this.#timeoutMilliseconds,
            ...serverName === undefined ? {} : { servername: serverName },
        });
    }
}

/** Clients name upstreams by address alone; whether the way there is encrypted is the site's choice, not theirs. */
function encrypt(options: Dispatcher.DispatchOptions): Dispatcher.DispatchOptions {
    return { ...options, origin: String(options.origin).replace(/^http:/, "https:") };
}
