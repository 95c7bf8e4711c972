/** Whether an entry still sends requests to an upstream whose record was removed, after failures of the log of different kinds. */
import { createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { startEntries, type GroupedEntry } from './fakes/entry-group.js'
import { SharedLog } from './fakes/shared-log.js'

const dataCentre = 'zone-a'
const upstreamKey = 'i-1'

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)
const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

/** The parts of one case: a log, an upstream and the entries that were started. */
class Fleet {
  readonly log = new SharedLog(dataCentre)
  private entries: readonly GroupedEntry[] = []
  private readonly upstream: Server

  constructor () {
    this.upstream = createServer((incoming, response) => {
      response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': String(incoming.headers['x-attempt-id']) }).end('done')
    })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.upstream.listen(0, '127.0.0.1', resolve) })
    this.log.append('operators', 'config', bytesOf({
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'safe', 'timeout-ms': 1000, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 1, public: true, service: 'plain' }],
      services: [{ name: 'plain' }]
    }))
    this.writeUpstream()
  }

  async stop (): Promise<void> {
    await Promise.all(this.entries.map(({ node }) => node.stop()))
    this.upstream.close()
    this.upstream.closeAllConnections()
  }

  writeUpstream (): void {
    const { port } = this.upstream.address() as AddressInfo
    this.log.append('instances', upstreamKey, bytesOf({ service: 'plain', address: `127.0.0.1:${port}`, zone: dataCentre, state: 'ready', slots: 8, born: 1000 }))
  }

  removeUpstream (): void {
    this.log.append('instances', upstreamKey, undefined)
  }

  /** Starts one more entry, which knows those started before. */
  async startEntry (): Promise<GroupedEntry> {
    const started = await startEntries(this.log, [dataCentre], 1, this.entries)
    this.entries = [...this.entries, ...started]
    return started[0] as GroupedEntry
  }
}

/** Sends a request to an entry; whether the upstream answered it. */
function isServed (entry: GroupedEntry): Promise<boolean> {
  const [host = '', port = ''] = entry.callers.split(':')
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': 'a1', 'x-deadline-ms': '300' } }, answer => {
      answer.resume()
      resolve(answer.statusCode === 200)
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}

interface Case {
  readonly name: string
  /** Ends just after the record was removed, or just after the log answers again; returns the entry to ask. */
  readonly play: (fleet: Fleet) => Promise<GroupedEntry>
  /** Whether the upstream is used, by the time since the end of `play`, milliseconds. */
  readonly expected: readonly { readonly after: number, readonly isUsed: boolean }[]
}

const cases: readonly Case[] = [
  {
    name: 'a removal while the log answers',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 1300, isUsed: false }]
  },
  {
    name: 'a removal just after a short failure of the log',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.isUnavailable = true
      await pause(400)
      fleet.log.isUnavailable = false
      await pause(700)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 1300, isUsed: false }]
  },
  {
    name: 'a removal while the log answers other entries but not this one',
    play: async fleet => {
      await fleet.startEntry()
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.unreachableFrom.add(entry.instance)
      await pause(4000)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 2800, isUsed: false }]
  },
  {
    name: 'a removal that an entry reads at once when its log answers again, while other entries had it all along',
    play: async fleet => {
      await fleet.startEntry()
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.unreachableFrom.add(entry.instance)
      await pause(4000)
      fleet.removeUpstream()
      fleet.log.unreachableFrom.clear()
      return entry
    },
    expected: [{ after: 1600, isUsed: false }]
  },
  {
    name: 'a restarted entry that has its records from another one when the log answers again without the key',
    play: async fleet => {
      const other = await fleet.startEntry()
      fleet.log.unreachableFrom.add(`${dataCentre}-1`)
      await pause(1500)
      const entry = await fleet.startEntry()
      await pause(3000)
      fleet.log.unreachableFrom.clear()
      fleet.log.unreachableFrom.add(other.instance)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 2500, isUsed: false }]
  },
  {
    name: 'records that expire and a read of the newest that fails once',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.newestReadsToFail = 1
      fleet.removeUpstream()
      fleet.log.expire('instances')
      return entry
    },
    expected: [{ after: 2500, isUsed: false }]
  },
  {
    name: 'a removal during an outage of the log, which may be a lapse: used until the instances have had time to write their records again',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.isUnavailable = true
      await pause(4500)
      fleet.removeUpstream()
      fleet.log.isUnavailable = false
      return entry
    },
    expected: [{ after: 1500, isUsed: true }, { after: 4000, isUsed: false }]
  },
  {
    name: 'a lapse during an outage of the log whose record is written again',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.isUnavailable = true
      await pause(4500)
      fleet.removeUpstream()
      fleet.log.isUnavailable = false
      await pause(1500)
      fleet.writeUpstream()
      return entry
    },
    expected: [{ after: 0, isUsed: true }, { after: 2500, isUsed: true }]
  }
]

/** Plays one case; answers whether the upstream was used at each of the expected times. */
async function playCase ({ play, expected }: Case): Promise<readonly boolean[]> {
  const fleet = new Fleet()
  await fleet.start()
  const entry = await play(fleet)
  const endedAt = monotonicNow()
  const isUsed: boolean[] = []
  for (const { after } of expected) {
    await sleepUntil(endedAt + after)
    isUsed.push(await isServed(entry))
  }
  await fleet.stop()
  return isUsed
}

// All cases are played at the same time, since each mostly waits.
const played = cases.map(playCase)

cases.forEach(({ name, expected }, index) => {
  test(`removed upstream: ${name}`, async t => {
    t.same(await played[index], expected.map(({ isUsed }) => isUsed), expected.map(({ after }) => `${after} ms later`).join(', '))
  })
})
