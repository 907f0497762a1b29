// Package pages keeps the pages in docs/ that repeat the code equal to it. Its
// tests compare them; with -update they write the generated parts.
package pages
