/** A small deployment: a log in memory, one plain upstream, and entries in one data centre. */
import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { startEntries, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'

/** Data centre of all parts. */
export const dataCentre = 'zone-a'
const upstreamKey = 'i-1'

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** The log, the upstream and the entries that were started. */
export class Fleet {
  readonly log = new SharedLog(dataCentre)
  private entries: readonly GroupedEntry[] = []
  private readonly upstream: Server

  /** `serve` handles requests that reach the upstream. */
  constructor (serve: (incoming: IncomingMessage, response: ServerResponse) => void = answerCompletely, private readonly maximumUpstreams = 1) {
    this.upstream = createServer(serve)
  }

  /** Starts the upstream and writes its record and a configuration with one route to it. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.upstream.listen(0, '127.0.0.1', resolve) })
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'safe', 'timeout-ms': 1000, 'latency-goal-ms': 300, priority: 1, 'max-attempts': this.maximumUpstreams, public: true, service: 'plain' }],
      services: [{ name: 'plain', 'max-conns': 8 }]
    }))
    this.writeUpstream()
  }

  /** Stops the entries and the upstream. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(({ node }) => node.stop()))
    this.upstream.close()
    this.upstream.closeAllConnections()
  }

  /** Writes the upstream's record; under other keys it is listed more than once. */
  writeUpstream (state: 'ready' | 'draining' = 'ready', key = upstreamKey): void {
    const { port } = this.upstream.address() as AddressInfo
    this.log.append('instances', key, bytesOf({ service: 'plain', address: `127.0.0.1:${port}`, zone: dataCentre, state, slots: 40, born: 1000 }))
  }

  /** Removes the upstream's record. */
  removeUpstream (): void {
    this.log.append('instances', upstreamKey, undefined)
  }

  /** Orders the data centre to be evacuated. */
  evacuate (): void {
    this.log.append('operators', `evacuate/${dataCentre}`, bytesOf({}))
  }

  /** Starts one more entry, which knows those started before. */
  async startEntry (): Promise<GroupedEntry> {
    const started = await startEntries(this.log, [dataCentre], 1, this.entries)
    this.entries = [...this.entries, ...started]
    return started[0] as GroupedEntry
  }

  /** Stops an entry as planned. */
  async stopEntry (entry: GroupedEntry): Promise<void> {
    this.entries = this.entries.filter(({ instance }) => instance !== entry.instance)
    await entry.node.stop()
  }
}

/** Answers a request as an upstream does that ran it. */
export function answerCompletely (incoming: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': String(incoming.headers['x-attempt-id']) }).end('done')
}

/** Sends a request to an entry; whether the upstream answered it. */
export function isServed (entry: GroupedEntry, id = 'a1'): Promise<boolean> {
  const [host = '', port = ''] = entry.callers.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '900' } }, answer => {
      answer.resume()
      resolve(answer.statusCode === 200)
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}
