/** A page with every measured table and its plots, to look at. */
import type { MeasureTable } from '../measure/table.js'
import { drawPlot } from './plot.js'

const style = 'body{font:15px sans-serif;margin:2em auto;max-width:70em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}th{background:#eee}'

/** HTML of all tables; `command` is what made them. */
export async function makePage (tables: readonly MeasureTable[], command: string, at: Date): Promise<string> {
  const parts = await Promise.all(tables.map(makeSection))
  const head = `<!doctype html><html lang="en"><meta charset="utf-8"><title>pollendyke: measurements</title><style>${style}</style>`
  return `${head}<h1>Measurements</h1><p>${escape(command)}, ${at.toISOString()}</p>${parts.join('')}</html>\n`
}

async function makeSection (table: MeasureTable): Promise<string> {
  const plots = await Promise.all((table.plots ?? []).map(async plot => await drawPlot(table, plot)))
  return `<h2>${escape(table.subject)}</h2>${plots.join('')}${makeTable(table)}`
}

function makeTable ({ rows }: MeasureTable): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const heading = columns.map(column => `<th>${escape(column)}</th>`).join('')
  const lines = rows.map(row => `<tr>${columns.map(column => `<td>${escape(String(row[column] ?? ''))}</td>`).join('')}</tr>`)
  return `<table><tr>${heading}</tr>${lines.join('')}</table>`
}

function escape (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}
