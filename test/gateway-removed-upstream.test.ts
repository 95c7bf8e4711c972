/** Whether an entry still sends requests to an upstream whose record was removed, after failures of the log of different kinds. */
import { createServer, request } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { answerDirectory, answerReadiness } from '../platform/directory.js'
import { PlatformRecords } from '../platform/records.js'
import { PlatformRequests } from '../platform/requests.js'
import { startGateway } from '../src/roles/gateway/gateway.js'
import type { GatewaySettings } from '../src/types/node-settings.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { SharedLog } from './fakes/record-log.js'

const upstreamKey = 'i-1'
const internalPort = 7740
/** Address block of this process, so that parallel test files do not meet. */
const block = `127.${64 + process.pid % 128}.${Math.floor(process.pid / 128) % 250}`
let lastAddress = 1

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

/** The parts of one case: a log, an upstream and the entries that were started. */
class Fleet {
  readonly log = new SharedLog()
  private constructor (private readonly upstreamAddress: string) {}

  static async start (): Promise<Fleet> {
    const upstream = createServer((incoming, response) => {
      response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': String(incoming.headers['x-attempt-id']) }).end('done')
    })
    await new Promise<void>(resolve => { upstream.listen(0, '127.0.0.1', resolve) })
    const fleet = new Fleet(`127.0.0.1:${(upstream.address() as AddressInfo).port}`)
    fleet.log.append('operators', 'config', {
      version: 1,
      routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': 'safe', 'timeout-ms': 1000, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 1, public: true, service: 'plain' }],
      services: [{ name: 'plain' }]
    })
    fleet.writeUpstream()
    return fleet
  }

  writeUpstream (): void {
    this.log.append('instances', upstreamKey, { service: 'plain', address: this.upstreamAddress, zone: 'zone-a', state: 'ready', slots: 8, born: 1000 })
  }

  removeUpstream (): void {
    this.log.append('instances', upstreamKey, undefined)
  }

  /** Starts an entry that knows `seeds`; it runs until the process ends. */
  async startEntry (instance: string, seeds: readonly Entry[] = []): Promise<Entry> {
    lastAddress += 1
    const ip = `${block}.${lastAddress}`
    const settings: GatewaySettings = {
      role: 'gateway',
      instance,
      ip,
      dataCentre: 'zone-a',
      region: 'north',
      regionByDataCentre: new Map([['zone-a', 'north']]),
      internalPort,
      seeds: seeds.map(seed => seed.ip),
      store: '',
      drainMilliseconds: 3000,
      configurationApplyMilliseconds: 3000,
      rolloutMilliseconds: 8000,
      stopGraceMilliseconds: 1000,
      retryRatio: 0.2,
      retryWindowMilliseconds: 10_000,
      retrySlack: 0,
      coldFactor: 1,
      coldSlack: 0,
      stableMilliseconds: 4000,
      callers: `${ip}:8000`,
      readiness: `${ip}:8001`,
      directory: `${ip}:8002`,
      directoryCacheSeconds: 1
    }
    await startGateway(settings, {
      records: this.log.clientOf(instance),
      codec: new PlatformRecords(),
      requests: new PlatformRequests(),
      directory: (incoming, response, find) => { answerDirectory(incoming, response, 1, find) },
      readiness: answerReadiness
    })
    return { instance, ip }
  }
}

interface Entry { readonly instance: string, readonly ip: string }

/** Sends a request to an entry; whether the upstream answered it. */
function isServed (entry: Entry): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: entry.ip, port: 8000, path: '/r/1', agent: false, headers: { host: 'a.example', 'x-attempt-id': 'a1', 'x-deadline-ms': '300' } }, answer => {
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
  readonly play: (fleet: Fleet) => Promise<Entry>
  /** Whether the upstream is used, by the time since the end of `play`, milliseconds; one read of the instance list takes up to 1,200. */
  readonly expected: readonly { readonly after: number, readonly isUsed: boolean }[]
}

const cases: readonly Case[] = [
  {
    name: 'a removal while the log answers',
    play: async fleet => {
      const entry = await fleet.startEntry('entry-1')
      await pause(1500)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 1300, isUsed: false }]
  },
  {
    name: 'a removal just after a short failure of the log',
    play: async fleet => {
      const entry = await fleet.startEntry('entry-1')
      await pause(1500)
      fleet.log.failing.add('all')
      await pause(400)
      fleet.log.failing.clear()
      await pause(700)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 1300, isUsed: false }]
  },
  {
    name: 'a removal while the log answers other entries but not this one',
    play: async fleet => {
      const other = await fleet.startEntry('entry-2')
      const entry = await fleet.startEntry('entry-1', [other])
      await pause(1500)
      fleet.log.failing.add('entry-1')
      await pause(4000)
      fleet.removeUpstream()
      return entry
    },
    expected: [{ after: 2800, isUsed: false }]
  },
  {
    name: 'a removal that an entry reads at once when its log answers again, while other entries had it all along',
    play: async fleet => {
      const other = await fleet.startEntry('entry-2')
      const entry = await fleet.startEntry('entry-1', [other])
      await pause(1500)
      fleet.log.failing.add('entry-1')
      await pause(4000)
      fleet.removeUpstream()
      fleet.log.failing.clear()
      return entry
    },
    expected: [{ after: 1600, isUsed: false }]
  },
  {
    name: 'a restarted entry that has its records from another one when the log answers again without the key',
    play: async fleet => {
      const other = await fleet.startEntry('entry-2')
      fleet.log.failing.add('entry-1')
      await pause(1500)
      const entry = await fleet.startEntry('entry-1', [other])
      await pause(1500)
      fleet.log.failing.add('entry-2')
      fleet.removeUpstream()
      fleet.log.failing.delete('entry-1')
      return entry
    },
    expected: [{ after: 2500, isUsed: false }]
  },
  {
    name: 'records that expire and a read of the newest that fails once',
    play: async fleet => {
      const entry = await fleet.startEntry('entry-1')
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
      const entry = await fleet.startEntry('entry-1')
      await pause(1500)
      fleet.log.failing.add('all')
      await pause(4500)
      fleet.removeUpstream()
      fleet.log.failing.clear()
      return entry
    },
    expected: [{ after: 1500, isUsed: true }, { after: 4000, isUsed: false }]
  },
  {
    name: 'a lapse during an outage of the log whose record is written again',
    play: async fleet => {
      const entry = await fleet.startEntry('entry-1')
      await pause(1500)
      fleet.log.failing.add('all')
      await pause(4500)
      fleet.removeUpstream()
      fleet.log.failing.clear()
      await pause(1500)
      fleet.writeUpstream()
      return entry
    },
    expected: [{ after: 0, isUsed: true }, { after: 2500, isUsed: true }]
  }
]

/** Plays one case; answers whether the upstream was used at each of the expected times. */
async function playCase ({ play, expected }: Case): Promise<readonly boolean[]> {
  const fleet = await Fleet.start()
  const entry = await play(fleet)
  const endedAt = monotonicNow()
  const isUsed: boolean[] = []
  for (const { after } of expected) {
    await sleepUntil(endedAt + after)
    isUsed.push(await isServed(entry))
  }
  return isUsed
}

// All cases are played at the same time, since each mostly waits.
const played = cases.map(playCase)

cases.forEach(({ name, expected }, index) => {
  test(`removed upstream: ${name}`, async t => {
    t.same(await played[index], expected.map(({ isUsed }) => isUsed), expected.map(({ after }) => `${after} ms later`).join(', '))
  })
})

// Entries run until their process ends.
test('removed upstream: end', async t => {
  t.pass('all cases are played')
  setTimeout(() => { process.exit() }, 100)
})
