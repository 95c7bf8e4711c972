/** Checks that a specification never gets stuck: its end can be reached from every state. */
import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'
import type { Action, Specification } from './explore.js'

/** States in all, and how many of them cannot reach the end any more. */
export interface Progress {
  readonly states: number
  readonly stuck: number
}

/** Visits all states and walks back from those that `isEnd` names; throws when there are more than `limit`. */
export function exploreProgress<State extends object> (specification: Specification<State>, isEnd: (state: State) => boolean, limit: number): Progress {
  const logic = fromTransition((state: State, action: Action) => specification.next(state, action), specification.initial)
  const keyOf = (state: State): string => JSON.stringify(state)
  const visited = Object.values(getAdjacencyMap(logic, {
    events: snapshot => specification.actionsOf(snapshot.context),
    serializeState: snapshot => keyOf(snapshot.context),
    limit
  }))
  const before = new Map<string, string[]>()
  for (const { state, transitions } of visited) {
    for (const { state: after } of Object.values(transitions as Readonly<Record<string, { readonly state: { readonly context: State } }>>)) {
      const key = keyOf(after.context)
      before.set(key, [...before.get(key) ?? [], keyOf(state.context)])
    }
  }
  const open = visited.filter(({ state }) => isEnd(state.context)).map(({ state }) => keyOf(state.context))
  const reaching = new Set(open)
  for (let key = open.pop(); key !== undefined; key = open.pop()) {
    for (const earlier of before.get(key) ?? []) {
      if (reaching.has(earlier)) continue
      reaching.add(earlier)
      open.push(earlier)
    }
  }
  return { states: visited.length, stuck: visited.length - reaching.size }
}
