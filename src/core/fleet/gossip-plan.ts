/** Gossip among entries: targets of a round, members in a message, and the time after which an unresponsive member counts as dead. */
import type { Member } from './members.js'

/** Time between two rounds, milliseconds: a fifth of the shortest time after which a member counts as dead. */
export const roundMilliseconds = 500
/** Targets of one round: two in the same data centre, since traffic between regions has a price, and one anywhere. */
export const fanOut = { sameDataCentre: 2, any: 1 } as const
/** Share of the members that one message describes, and bounds of their number: up to fourteen fit one packet, the maximum takes three. */
const messageMembers = { part: 1 / 3, minimum: 4, maximum: 40 } as const
/** Bounds of the time without a heartbeat after which a member counts as dead, milliseconds: at least five rounds, and shorter than the time for which directory answers may name a dead entry. */
const deadMilliseconds = { minimum: 2500, maximum: 5500 } as const
/** Mean heartbeat intervals, as received through gossip, after which a member counts as dead; test/fleet-decisions.test.ts replays gossip among living entries. */
const missedHeartbeats = 9

/** Number of other members that one message describes. */
export function membersPerMessage (members: number): number {
  return Math.min(messageMembers.maximum, Math.max(messageMembers.minimum, Math.ceil(members * messageMembers.part)))
}

/** Time without a heartbeat after which one of `members` counts as dead, milliseconds. */
export function deadAfterMilliseconds (members: number): number {
  const heartbeatsPerRound = (fanOut.sameDataCentre + fanOut.any) * (membersPerMessage(members) + 1)
  const intervalMilliseconds = members / heartbeatsPerRound * roundMilliseconds
  return Math.min(deadMilliseconds.maximum, Math.max(deadMilliseconds.minimum, intervalMilliseconds * missedHeartbeats))
}

/** Random targets of one round; members elsewhere fill up for missing ones in `dataCentre`. */
export function gossipTargets (members: readonly Member[], dataCentre: string, random: () => number): readonly Member[] {
  const local = sample(members.filter(member => member.dataCentre === dataCentre), fanOut.sameDataCentre, random)
  const rest = members.filter(member => !local.includes(member))
  return [...local, ...sample(rest, fanOut.sameDataCentre + fanOut.any - local.length, random)]
}

/** Up to `maximumCount` random elements, each at most once. */
export function sample<Item> (items: readonly Item[], maximumCount: number, random: () => number): readonly Item[] {
  if (items.length <= maximumCount) return items
  const rest = [...items]
  return Array.from({ length: maximumCount }, () => rest.splice(Math.floor(random() * rest.length), 1)).flat()
}
