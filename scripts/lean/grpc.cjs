// gRPC, loaded when the first client or server is created: it and HTTP/2 are a third of the code that a node loads, and a node
// that has just started serves callers before it talks to peers.
const load = () => require("@grpc/grpc-js");

/** Stands for a client's constructor until a client is created. */
exports.makeGenericClientConstructor = (...definition) => {
    let Client;
    return function createClient(...options) {
        Client ??= load().makeGenericClientConstructor(...definition);
        return new Client(...options);
    };
};

for (const name of ["credentials", "experimental", "Metadata", "Server", "ServerCredentials", "status"]) {
    Object.defineProperty(exports, name, { enumerable: true, get: () => load()[name] });
}
