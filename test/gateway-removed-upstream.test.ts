/** Whether an entry still sends requests to an upstream whose record was removed, after failures of the log of different kinds. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import type { GroupedEntry } from './fakes/entry-group.js'
import { dataCentre, Fleet, isServed } from './fakes/plain-fleet.js'

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

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
    name: 'a removal while no entry read the log, then records from an entry that started after it',
    play: async fleet => {
      const entry = await fleet.startEntry()
      await pause(1500)
      fleet.log.unreachableFrom.add(entry.instance)
      await pause(300)
      fleet.removeUpstream()
      await fleet.startEntry()
      return entry
    },
    expected: [{ after: 7000, isUsed: false }]
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
