/** A small plain service: servers that answer as a case tells, entries and the store. */
import { createServer } from 'node:http'
import { configurationOf, isReady } from './caller.mjs'
import { Deployment, delay, eventually, exitStatus } from './deployment.mjs'
import { Store } from './store.mjs'

const zones = { 'ahd-a': 'ahmedabad', 'vdr-a': 'vadodara' }
const slots = 6

/** The service; its routes are `/safe/`, which may be repeated, and `/unsafe/`, which may not. */
export class PlainDeployment {
  servers = []

  /** `answer` is called with each request that a server runs, its response, and the server. */
  constructor (caseFolder, { entries, servers, timeoutMilliseconds, answer }) {
    this.deployment = new Deployment(caseFolder, zones)
    this.timeoutMilliseconds = timeoutMilliseconds
    this.store = new Store(this.deployment.newIp())
    const zoneNames = Object.keys(zones)
    this.deployment.addEntries(Array.from({ length: entries }, (_, index) => zoneNames[index % zoneNames.length]), this.store)
    this.servers = Array.from({ length: servers }, (_, index) => this.createServer(`i-02d9e6b${index}`, zoneNames[index % zoneNames.length], answer))
    this.deployment.closers.push(() => {
      this.store.close()
      for (const { http } of this.servers) {
        http.close()
        http.closeAllConnections()
      }
    })
  }

  createServer (id, zone, answer) {
    const server = { id, zone, ip: this.deployment.newIp(), born: Date.now() }
    server.address = `${server.ip}:8080`
    server.http = createServer((incoming, response) => {
      const attempt = incoming.headers['x-attempt-id']
      if (incoming.headers['x-expect-instance'] !== id) {
        response.writeHead(421, { 'x-attempt-id': attempt, 'x-instance-id': id, 'content-length': 0 }).end()
        return
      }
      const parts = []
      incoming.on('data', part => { parts.push(part) })
      incoming.on('end', () => {
        this.deployment.record('server runs a request', { server: id, id: attempt, method: incoming.method, path: incoming.url })
        answer({ id: attempt, incoming, response, server, body: Buffer.concat(parts) })
      })
    })
    return server
  }

  /** Writes a configuration with these keys besides the usual one. */
  configure (version, furtherKeys = []) {
    const route = { 'timeout-ms': this.timeoutMilliseconds, 'latency-goal-ms': 144, service: 'wuno96b' }
    const configuration = configurationOf(version, [
      { ...route, name: 'r-safe', 'path-prefix': '/safe/', 'route-type': 'safe' },
      { ...route, name: 'r-unsafe', 'path-prefix': '/unsafe/', 'route-type': 'unsafe', 'max-attempts': 1 }
    ], [{ name: 'wuno96b', 'health-path': '/healthz', 'max-conns': 110, protocol: 'h1', tls: false, 'cold-start-s': 0, 'cold-per-s': 0 }])
    for (const tenant of configuration.tenants) tenant['api-keys'] = [...tenant['api-keys'], ...furtherKeys]
    const offset = this.store.put('keyed.op', 'config', configuration)
    this.deployment.record('operator writes a configuration', { version, offset, furtherKeys })
  }

  async start (furtherKeys) {
    await this.store.listen()
    this.configure(7, furtherKeys)
    for (const server of this.servers) {
      await new Promise((resolve, reject) => {
        server.http.once('error', reject)
        server.http.listen(8080, server.ip, resolve)
      })
      this.announce(server)
    }
    this.deployment.startAll()
    if (!await this.waitUntilReady()) this.deployment.finish(exitStatus.notRun, 'the entries did not get ready')
    await delay(1500)
  }

  announce (server, state = 'ready') {
    this.store.put('keyed.servers', server.id, { service: 'wuno96b', address: server.address, zone: server.zone, version: 'v1', slots, state, 'cold-left-ms': 0, sequence: 1, born: server.born })
  }

  waitUntilReady () {
    return eventually(async () => (await Promise.all(this.deployment.entries.map(({ ip }) => isReady(ip)))).every(Boolean), 12_000)
  }
}
